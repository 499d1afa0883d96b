#!/usr/bin/env bash
# Runs the day without disruptions on each site with the users' bench, if CITRONGATE_KIT
# or the default folder beside the repository contains it. SEED sets the bench's random seed.
set -euo pipefail
cd "$(dirname "$0")/.."
kit=${CITRONGATE_KIT:-../given/kit/more/system}
if [ ! -x "$kit/bin/fleetbench" ]; then
  echo "fleet: the bench is not at hand; set CITRONGATE_KIT to the folder that holds bin/fleetbench"
  exit 0
fi
for site in "$kit"/sites/*.toml; do
  "$kit/bin/fleetbench" run "$site" quiet-1 ${SEED:+--seed "$SEED"} --why "make fleet: the calm day of each site"
done
