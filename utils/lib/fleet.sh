# Brings up a fleet of entry hosts and stand-in workers on the loopback.
# Sourced by the scripts beside it, which set:
#   run   a folder for settings, logs and records; made anew
#   bin   the build folder
#
# Ports are base_port + 100 * kind + number of the host:
#   0 callers, 1 upstreams, 2 operators, 3 peers; workers from base_port + 500.

base_port=${base_port:-18000}
fleet_zones=(z1 z1 z1 z2 z2 z3 z3)
# The hosts with disks: one in each availability zone.
voters="entry-0 entry-3 entry-5"
peer_secret=demo-secret-of-the-entry-hosts
pids=()

port_of() { # kind host-number
  echo "127.0.0.1:$((base_port + 100 * $1 + $2))"
}

ports_of() { # kind
  local number
  for number in "${!fleet_zones[@]}"; do port_of "$1" "$number"; done
}

# Prints "id.secret digest" of a new key.
new_key() { # key-id
  "$bin/tools/greengagectl/greengagectl" keys new "$1" |
    awk '/^key:/ {key=$2} /^setting:/ {print key, $4}'
}

write_fleet() {
  local number digest
  rm -rf "$run"
  mkdir -p "$run"
  read -r plan_key digest < <(new_key plan1)
  local plan_digest=$digest
  read -r certify_key digest < <(new_key certify1)
  local certify_digest=$digest
  read -r operator_key digest < <(new_key operator1)
  local operator_digest=$digest
  read -r upstream_key digest < <(new_key upstream1)
  cat >"$run/fleet.ini" <<INI
; defaults for every team and pool below
limit = 64
share = 1
queue.max = 2000

[teams/caxias/plan]
share = 2
key.plan1 = $plan_digest

[teams/caxias/certify]
key.certify1 = $certify_digest

[pools/lines]
description = stripping lines

[operators/night]
key.operator1 = $operator_digest

[upstreams/platform]
key.upstream1 = $digest
INI
  for number in "${!fleet_zones[@]}"; do write_host "$number"; done
}

write_host() { # host-number
  local other
  {
    cat <<INI
[host]
id = entry-$1
availability_zone = ${fleet_zones[$1]}
$(case " $voters " in *" entry-$1 "*) echo "data = $run/entry-$1.data" ;; esac)

[agreed]
voters = $voters

[callers]
listen = $(port_of 0 "$1")

[upstreams]
listen = $(port_of 1 "$1")

[operators]
listen = $(port_of 2 "$1")

[peers]
listen = $(port_of 3 "$1")
secret = $peer_secret

[fleet]
settings = $run/fleet.ini

[once]
cold_start = true

[shutdown]
notice = ${shutdown_notice:-200ms}
timeout = 20s

[log]
path = $run/entry-$1.log

[members]
INI
    for other in "${!fleet_zones[@]}"; do
      echo "entry-$other = $(port_of 3 "$other") ${fleet_zones[$other]}"
    done
  } >"$run/entry-$1.ini"
}

start_hosts() {
  local number
  for number in "${!fleet_zones[@]}"; do
    "$bin/tools/greengaged/greengaged" --config "$run/entry-$number.ini" &
    pids+=($!)
  done
  for number in "${!fleet_zones[@]}"; do
    wait_for "$(port_of 2 "$number")" /readyz 'ready'
  done
}

# Starts workers in each zone: four to a rack.
start_workers() { # workers-per-zone
  local zone index=0 worker listen
  for zone in z1 z2 z3; do
    listen=()
    for worker in $(seq 0 $(($1 - 1))); do
      listen+=("127.0.0.1:$((base_port + 500 + 50 * index + worker))")
    done
    # shellcheck disable=SC2046
    "$bin/unittests/standins/standin-upstream" --id "worker-$zone" \
      --listen "${listen[@]}" \
      --zone "$zone" --pool lines --key "$upstream_key" \
      --entry $(ports_of 1) --record "$run/runs.jsonl" &
    pids+=($!)
    index=$((index + 1))
  done
}

http_get() { # ip:port path; prints the whole response
  local address=${1%:*} port=${1##*:}
  exec 3<>"/dev/tcp/$address/$port" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$1" >&3
  cat <&3
  exec 3<&- 3>&-
}

# Polls until the response holds a line that equals the text.
wait_for() { # ip:port path text
  local try
  for try in $(seq 100); do
    http_get "$1" "$2" 2>/dev/null | grep -qx "$3" && return 0
    sleep 0.05
  done
  echo "no \"$3\" from $1$2 after 5 s" >&2
  return 1
}

# Sums a metric over all entry hosts.
sum_metric() { # name
  local number
  for number in "${!fleet_zones[@]}"; do
    http_get "$(port_of 2 "$number")" /metrics 2>/dev/null || true
  done | tr -d '\r' | awk -v name="$1" '
    { metric = $1; sub(/[{].*/, "", metric); if (metric == name) sum += $2 }
    END { print sum + 0 }'
}

# Waits until the entry hosts say that so many slots are free.
wait_for_slots() { # slots
  local try
  for try in $(seq 100); do
    [ "$(sum_metric greengage_free_slots)" -ge "$1" ] && return 0
    sleep 0.1
  done
  echo "fewer than $1 free slots after 10 s" >&2
  return 1
}

# Stops all that was started; fails if any of it did not end cleanly.
stop_fleet() {
  local pid status=0
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || status=$?; done
  pids=()
  return "$status"
}
