#!/bin/sh
# Puts the libraries and the project's packages into target/deps.
#
# Processes may run from the folder meanwhile, so it is built aside and renamed, and left
# alone if nothing has changed.
set -eu
deps=target/deps
packages="packages/kernel/wasabiknot_kernel packages/entry/wasabiknot_entry
    platform/wasabiknot_platform"

libraries=$(cat deploy/requirements.txt && uname -m && python3 --version)
# shellcheck disable=SC2086
sources=$(find $packages -name '*.py' | LC_ALL=C sort | xargs sha256sum)
is_same() {
    [ -f "$deps/$1" ] && [ "$(cat "$deps/$1")" = "$2" ]
}
if is_same libraries.stamp "$libraries" && is_same sources.stamp "$sources"; then
    exit 0
fi

new=target/deps.$$
mkdir -p target
if is_same libraries.stamp "$libraries"; then
    cp -R "$deps" "$new"
else
    python3 -m pip install -q --no-deps --target "$new" -r deploy/requirements.txt
    printf '%s\n' "$libraries" > "$new/libraries.stamp"
fi
rm -rf "$new"/wasabiknot_*
# shellcheck disable=SC2086
cp -R $packages "$new/"
python3 -m compileall -q "$new" || true
printf '%s\n' "$sources" > "$new/sources.stamp"

if [ -e "$deps" ]; then
    mv "$deps" "$new.old" 2> /dev/null || true
fi
# Another build may have put its folder there meanwhile.
mv -T "$new" "$deps" 2> /dev/null || rm -rf "$new"
rm -rf "$new.old"
