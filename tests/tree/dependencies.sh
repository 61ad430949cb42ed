#!/usr/bin/env bash
# Keeps dependencies between packages in one direction, and decisions in the policy.
# Usage: dependencies.sh ROOT   (ROOT: the project's folder)
#
# Fails where
#   - a file includes a header of a package that the table below does not allow;
#   - a file outside of the policy includes a header of it that is not part of its interface;
#   - a file of the policy is missing from `policy` in deploy/balancer.toml, or the list names one that is not there.
set -euo pipefail
cd "$1"

# Package, then the packages that it may include. The table is ordered: each package uses only earlier ones.
table='
timing:
http1:
http2:
config:
log:
scheduler:
tokeniser:
policy:
grpc: http2
net: timing
deployment_config: policy
simulator_adapter: policy deployment_config
counting: policy scheduler timing tokeniser
routing: policy timing
membership: config policy timing
engine: config http1 membership net policy routing timing
client: grpc http2 net timing
grpc_frontend: grpc http2 net policy routing timing
fake_engine: config http1 net policy timing tokeniser
platform/discovery: config http1 membership net policy timing
platform/config: config deployment_config membership platform/discovery policy timing
platform/engine: deployment_config engine http1 membership net policy routing timing
platform/http_frontend: config deployment_config http1 net policy routing timing
platform/process: engine log membership net platform/config platform/discovery platform/engine platform/http_frontend policy routing timing
server: config counting engine grpc_frontend log membership net policy routing timing
fault_scenario: client config fake_engine net server timing
app: client config fake_engine fault_scenario log membership net platform/config platform/process server timing tokeniser
sentencepiece_helper:
'
# What other packages may include of the policy.
interface='policy/routing_policy.h policy/settings.h policy/events.h policy/actions.h policy/ids.h'

failed=0
complain() {
  echo "$*"
  failed=1
}
package_of() {
  case $1 in
    platform/*/*) cut -d/ -f1,2 <<<"$1" ;;
    *) cut -d/ -f1 <<<"$1" ;;
  esac
}

declare -A allowed=()
while IFS=: read -r package uses; do
  [ -n "$package" ] || continue
  for used in $uses; do
    [ -n "${allowed[$used]+known}" ] || complain "the table is out of order: $package uses $used, which comes later"
  done
  allowed[$package]=" $uses "
done <<<"$table"

while IFS=: read -r file header; do
  from=$(package_of "${file#src/}")
  to=$(package_of "$header")
  [ -n "${allowed[$from]+known}" ] || { complain "$file: package $from is not in the table"; continue; }
  [ "$from" = "$to" ] && continue
  [ -n "${allowed[$to]+known}" ] || continue # generated headers
  [[ ${allowed[$from]} == *" $to "* ]] || complain "$file includes $header: $from may not use $to"
  if [ "$to" = policy ] && [[ " $interface " != *" $header "* ]]; then
    complain "$file includes $header, which is not part of the policy's interface"
  fi
done < <(grep -rnoE '^#include "[a-z0-9_]+/[^"]+"' src --include='*.h' --include='*.cpp' |
  sed -E 's/^([^:]+):[0-9]+:#include "([^"]+)"$/\1:\2/')

listed=$(sed -n 's/^policy = \[\(.*\)\]/\1/p' deploy/balancer.toml | tr -d '", ' | sed 's/src/\nsrc/g' | sed '/^$/d' | sort)
present=$(find src/policy -name '*.cpp' -o -name '*.h' | sort)
for header in $interface; do present=$(grep -vx "src/$header" <<<"$present" || true); done
if [ "$listed" != "$present" ]; then
  complain "deploy/balancer.toml and src/policy differ:"
  diff <(echo "$listed") <(echo "$present") || true
fi
exit "$failed"
