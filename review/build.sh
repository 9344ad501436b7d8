#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's stand-in for the platform's store and the libraries it needs.
# The servers and clients of review/shared/ and of the cases are plain scripts and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/build.js
