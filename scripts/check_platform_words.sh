#!/usr/bin/env bash
# Fails if a name from the platform's wire protocol or test bench is used outside platform/, deploy/
# and the tests with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
words='X-Request-Id|X-Deadline-Ms|X-Target-Instance|X-Caller-Service|X-Server-Signature|X-Server-Load'
words+='|X-Not-Executed|X-Instance-Id|Store-Era|/v1/rpc|/v1/readyz|/v1/objects|instances\.(heartbeat|deregister)'
words+='|weightedServices|pathPrefix|typeUrl|targetLatency|heartbeatAddr|deletionPending|isStale|hasMore'
words+='|readinessAddr|upstreamAddr|portRange|budgetSlack|floorShare|fleetbench|BERYLSPUR_NODE_FILE'
words+='|X-Key|X-Tenant-Id|apiKeys|ratePerS'
if git grep -nE "$words" -- src include tools schema generated benchmark examples scripts CMakeLists.txt Makefile \
  ':!scripts/check_platform_words.sh'; then
  echo "platform names are used outside platform/ and deploy/ (see above)"
  exit 1
fi
