#!/bin/sh
# The stand-ins are plain JavaScript; building them means to check their syntax.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file" || exit 1
done
