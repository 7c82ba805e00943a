#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/ and the
# stand-ins of it in lab/hosted, with the soak that uses them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Marblepond-|Kv-(Fetch|From)|/v1/(objects|lots|items|ready|report|kv-)|create_rev|store_revision|has_more|stale_ok|warmup_left_ms|traffic_split|path_prefix|session_affinity|gap_aim_ms|run_aim_ms|dead_letter|"finalizers"|slo_ms'
if git grep -nE "$names" -- '*.go' ':!platform/' ':!lab/hosted/' ':!lab/hostedsoak/'; then
  echo "names of the users' platform belong into platform/" >&2
  exit 1
fi
