#!/usr/bin/env bash
# Runs go test with the given arguments, prints its output as it comes, and ends with the failed
# tests and their messages, since a long output hides them. Exits with the code of go test.
set -uo pipefail
output=$(mktemp)
trap 'rm -f "$output"' EXIT
go test "$@" 2>&1 | tee "$output"
code=${PIPESTATUS[0]}
if [ "$code" -ne 0 ]; then
  awk '
    function keep(line) { lines[++kept] = line }
    function endPackage(name, failed,   i) {
      if (failed) {
        report = report "\n" name "\n"
        for (i = 1; i <= kept; i++) report = report lines[i] "\n"
        names = names name (tests == "" ? "" : ":") tests "\n"
      }
      kept = more = inTrace = 0; tests = ""
    }
    BEGIN { maxLines = 20 } # under one failed test, of one panic
    { sub(/\r$/, ""); gsub(/\033\[[0-9;]*m/, "") }
    /^(ok  |\?   )\t/ { endPackage($2, 0); next }
    /^FAIL\t/ { endPackage($2 ($3 ~ /^\[/ ? " " substr($0, index($0, $3)) : ""), 1); next }
    /^FAIL$/ { more = 0; next }
    /^[^ \t].*\.go:[0-9]+:[0-9]+: / { build = build $0 "\n"; next }
    /^[ \t]*--- FAIL: / { keep($0); tests = tests " " $3; more = maxLines; next }
    /^[ \t]*(---|===) / { more = 0; next }
    /^(panic: |fatal error: |WARNING: DATA RACE)/ { keep($0); more = maxLines; inTrace = 1; next }
    inTrace && /^\t+Test/ { tests = tests " " $1 } # it ran when the time was up
    # Messages of the package is come before the line of their test.
    /^[ \t]+[^ \t:]+\.go:[0-9]+: / { keep($0); if (more > 0) more--; next }
    more > 0 && (inTrace || /^[ \t]/) { keep($0); more--; next }
    { more = inTrace = 0 }
    END {
      endPackage("other output", kept > 0)
      printf "\nFAILED TESTS\n%s%s\n%s", (build == "" ? "" : "\n" build), report, names
    }
  ' "$output"
fi
exit "$code"
