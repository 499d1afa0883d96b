#!/usr/bin/env bash
# Plays one generated day for each disruption of the users' bench on each site,
# and prints a line with its score and the rules that it broke.
#
#   scripts/matrix.sh [LOAD]     LOAD is a factor of the usual traffic, 1 if not given
set -euo pipefail
cd "$(dirname "$0")/.."
kit=${CITRONGATE_KIT:-../given/kit/more/system}
load=${1:-1}
if [ ! -x "$kit/bin/fleetbench" ]; then
  echo "matrix: the bench is not at hand; set CITRONGATE_KIT to the folder that holds bin/fleetbench"
  exit 0
fi
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

# write NAME SECTION ENTRY writes a day with one disruption.
write() {
  {
    printf '[[day]]\nname = "%s"\n%s = [\n  { at = 6.0, %s },\n]\n' "$1" "$2" "$3"
    if [ "$load" != 1 ]; then
      [ "$2" = faults ] || printf 'faults = [\n  { at = 1.0, kind = "burst", x = %s, for_s = 25.0 },\n]\n' "$load"
    fi
  } > "$days/$1.toml"
}

n=0
while IFS='|' read -r section entry; do
  n=$((n + 1))
  write "$(printf 'd%02d-%s' "$n" "$(sed 's/.*kind = "\([a-z_]*\)".*/\1/' <<<"$entry")")" "$section" "$entry"
done < scripts/matrix.txt

for day in "$days"/*.toml; do
  for site in "$kit"/sites/*.toml; do
    entry=$(sed -n 's/.*at = 6.0, \(.*\) },/\1/p' "$day")
    result=$("$kit/bin/fleetbench" run "$site" "$day" --why "matrix: one disruption a day, load x $load" 2>&1 |
      grep -E '^(d[0-9]+-|.*BROKEN)' | head -1 || true)
    printf '%-20s %-70s %s\n' "$(basename "$site" .toml)" "$entry" "$(sed 's/  */ /g' <<<"$result")"
  done
done
