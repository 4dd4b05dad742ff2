#!/bin/sh
# Checks that the stand-ins of the cases can be loaded; they need only the standard
# library, and Python that runs the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for module in rig.py [1-9]/case.py; do
    if [ -f "$module" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$module"
    fi
done
