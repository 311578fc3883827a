#!/usr/bin/env bash
# Writes record.txt; TROUBLE=0 runs the case without the disruption.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")"
