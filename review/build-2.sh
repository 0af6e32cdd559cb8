#!/bin/sh
# Each case holds its own stand-ins. They are plain JavaScript that Node runs as
# it is, so there is nothing to compile: this checks that Node can read each file.
set -e
cd "$(dirname "$0")"
for file in [4-8]/*.js; do
  node --check "$file"
done
