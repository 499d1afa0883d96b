#!/usr/bin/env bash
# Runs generated scenarios (days) of disruptions with the users' bench on each site.
# Prints one line for each run with its score and the violated rules, then a table of
# violated rules by kind of disruption.
#
#   scripts/matrix.sh single      one disruption per day: each line of matrix.txt
#   scripts/matrix.sh pairs       two per day, 1.5 s apart: all pairs of kinds with the same head
#                                 (first column of matrix.txt)
#   scripts/matrix.sh sample N    N pairs of lines with different heads, drawn at random from SEED
#
# Environment (defaults in brackets): LOAD, a factor of the usual traffic (1); JOBS,
# the number of days run at a time (3); SEED, the seed of the sample (1);
# CITRONGATE_KIT, the folder that holds the bench. In pairs and samples the variants
# of a kind are used in turn.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-single}
count=${2:-20}
kit=$(realpath -m "${CITRONGATE_KIT:-../given/kit/more/system}")
export kit mode LOAD=${LOAD:-1}
if [ ! -x "$kit/bin/fleetbench" ]; then
  echo "matrix: the bench is not at hand; set CITRONGATE_KIT to the folder that holds bin/fleetbench"
  exit 0
fi
work=$(mktemp -d)
export work
trap 'rm -rf "$work"' EXIT

# days prints one line per day: its disruptions, separated by tabs.
days() {
  case "$mode" in
    single) cat scripts/matrix.txt ;;
    pairs | sample) awk -F'|' -v mode="$mode" -v count="$count" -v seed="${SEED:-1}" '
      { split($3, part, "\""); kind = part[2]; key = $1 "|" kind
        if (!(key in variants)) { kinds[++n] = key; head[n] = $1 }
        line[key, ++variants[key]] = $0 }
      function take(i) { return line[kinds[i], used[i]++ % variants[kinds[i]] + 1] }
      END {
        srand(seed)
        if (mode == "pairs") {
          for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++) if (head[i] == head[j] && head[i] != "closing") print take(i) "\t" take(j)
        } else {
          while (drawn < count) {
            i = int(rand() * n) + 1; j = int(rand() * n) + 1
            if (head[i] != head[j] && head[i] != "closing") { used[i] = int(rand() * 9); used[j] = int(rand() * 9); print take(i) "\t" take(j); drawn++ }
          }
        }
      }' scripts/matrix.txt ;;
    *) echo "matrix: unknown mode $mode; take single, pairs or sample" >&2; return 2 ;;
  esac
}

# write NAME DISRUPTIONS prints the TOML file of a day.
write() {
  local entries i=0 faults='' plan='' closing='' head section entry
  IFS=$'\t' read -ra entries <<<"$2"
  for e in "${entries[@]}"; do
    IFS='|' read -r head section entry <<<"$e"
    case "$section" in
      faults) faults+="  { at = $((6 + i / 2)).$((i % 2 * 5)), $entry },"$'\n' ;;
      plan) plan+="  { at = $((6 + i / 2)).$((i % 2 * 5)), $entry },"$'\n' ;;
      closing) closing="closing = { $entry }" ;;
    esac
    i=$((i + 3))
  done
  [ "$LOAD" = 1 ] || faults+="  { at = 1.0, kind = \"burst\", x = $LOAD, for_s = 25.0 },"$'\n'
  printf '[[day]]\nname = "%s"\nfaults = [\n%s]\nplan = [\n%s]\n%s\n' "$1" "$faults" "$plan" "$closing"
}

# play SITE NAME DISRUPTIONS runs one day on a site and prints its result line.
play() {
  local site=$1 name=$2 entries=$3 out id rules score
  out=$("$kit/bin/fleetbench" run "$site" "$work/$name.toml" --jobs 1 --why "matrix $mode, load x $LOAD: $(sed 's/"//g' <<<"${entries//$'\t'/ and }")" 2>&1) || true
  id=$(sed -n 's/^snapshot \([0-9a-f]*\).*/\1/p' <<<"$out")
  rules=$(grep -ho '"rules": {[^}]*}' journal/*-"$id".json 2>/dev/null | head -1 | sed 's/"rules": {//;s/}//;s/"//g') || true
  score=$(grep -E "^$name " <<<"$out" | awk '{print $3}')
  if [ -z "$id" ] || [ -z "$score" ]; then
    rules="NOT PLAYED: $(tail -1 <<<"$out")"
  fi
  printf '%s\t%s\t%s\t%s\n' "$(basename "$site" .toml)" "${score:--}" "${rules:-none}" "$entries"
}
export -f play

days > "$work/days"

n=0
while IFS= read -r entries; do
  n=$((n + 1))
  name=$(printf '%s%03d' "${mode:0:1}" "$n")
  write "$name" "$entries" > "$work/$name.toml"
  for site in "$kit"/sites/*.toml; do printf '%s\0%s\0%s\0' "$site" "$name" "$entries"; done
done < "$work/days" > "$work/list"

xargs -0 -n 3 -P "${JOBS:-3}" bash -c 'play "$@"' play < "$work/list" | tee "$work/results"

echo
echo 'days, days with a broken rule and rules, by kind of disruption:'
awk -F'\t' '{
    broken = ($3 != "none")
    for (i = 4; i <= NF; i++) { split($i, part, "\""); kind = part[2]; days[kind]++; bad[kind] += broken; if (broken) rules[kind] = rules[kind] " " $3 }
  }
  END { for (k in days) printf "%-20s %4d %4d %s\n", k, days[k], bad[k], rules[k] }' "$work/results" | sort
