#!/usr/bin/env bash
# Plays the case of claim.txt. Ends with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs target/coveferryd and what review/build-2.sh builds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coveferryd ] && [ -x target/_rig2 ] || exit 2
exec target/_rig2 -case evacuated -dir review/8
