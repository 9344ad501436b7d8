#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain modules without dependencies, so that it only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.js 1[1-5]/*.js; do
	node --check "$file"
done
