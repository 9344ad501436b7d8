#!/usr/bin/env bash
# A gateway is stopped with SIGTERM while clients pipeline reads: TROUBLE=0 leaves the signal out.
source "$(dirname "$0")/../shared/run.sh"
run_case "$(cd "$(dirname "$0")" && pwd)"
