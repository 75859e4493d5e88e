#!/bin/sh
# Builds what the scripts of the second review start, after the build of the
# deploy file. Their stand-ins are plain scripts of Node.js in review/lib-2 and
# need no build; this only checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do
  node --check "$file"
done
test -s ../target/gentianshunt.cjs || {
  echo 'build the program first, with the build line of deploy/system.toml' >&2
  exit 1
}
