#!/usr/bin/env bash
# Fails if a name of the users' platform occurs in Go code outside platform/, lab/hosted (which
# simulates the platform) and lab/hostedsoak (which uses lab/hosted).
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Marblepond-|Kv-(Fetch|From)|/v1/(objects|lots|items|ready|report|kv-)|create_rev|store_revision|has_more|stale_ok|warmup_left_ms|traffic_split|path_prefix|session_affinity|gap_aim_ms|run_aim_ms|dead_letter|"finalizers"|slo_ms'
if git grep -nE "$names" -- '*.go' ':!platform/' ':!lab/hosted/' ':!lab/hostedsoak/'; then
  echo "names of the users' platform may occur only in platform/" >&2
  exit 1
fi
