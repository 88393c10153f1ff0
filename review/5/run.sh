#!/usr/bin/env bash
# Runs the case with the disruption, or without it if TROUBLE is 0.
cd "$(dirname "$0")/../.." && TROUBLE="${TROUBLE:-1}" exec node review/5/case.js
