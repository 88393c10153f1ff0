#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases 6 to 10; they are plain JavaScript for Node and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/kit-2.js review/{6,7,8,9,10}/case.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
