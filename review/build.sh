#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are plain scripts for Node.js without dependencies, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit.js */case.js; do
	node --check "$file"
done
