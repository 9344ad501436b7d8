#!/usr/bin/env bash
# A server is lost while clients of a route that runs once at most leave before their deadline: TROUBLE=0 leaves both out.
source "$(dirname "$0")/../shared/run.sh"
run_case "$(cd "$(dirname "$0")" && pwd)"
