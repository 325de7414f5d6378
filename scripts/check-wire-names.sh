#!/usr/bin/env bash
# Fails if names of the users' platform appear outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|heartbeat_url|cold_remaining_ms'
names+='|api_keys|rate_per_s|op/rollout|status/rollout|virtual_hosts|weighted_clusters|retry_attempts|target_latency_ms|/oleandertide/'
names+='|Oleandertide-(Request-Id|Deadline-Ms|Expect-Instance|Caller-Service|Not-Executed|Tenant|Server-Stamp|Instance-Id)'
if git grep -nIE "$names" -- libraries programs; then
  echo "names of the platform's wire outside platform/"
  exit 1
fi
echo "wire names: only in platform/"
