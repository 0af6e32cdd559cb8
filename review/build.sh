#!/bin/sh
# The stand-ins are plain JavaScript that Node runs as it is: there is nothing to
# compile. This checks that every file of them can be read by Node.
set -e
cd "$(dirname "$0")"
for file in stand_ins/*.js [0-9]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
