#!/bin/sh
# Builds the stand-ins of the second review. They need the standard library of Python
# alone, so this only checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common-2 6 7 8
