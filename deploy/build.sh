#!/bin/sh
# Puts the libraries and the project's packages into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps"/wasabiknot_*
cp -R packages/kernel/wasabiknot_kernel packages/entry/wasabiknot_entry \
    platform/wasabiknot_platform "$deps/"
python3 -m compileall -q "$deps" || true
