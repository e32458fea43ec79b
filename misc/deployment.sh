# Functions that start and stop a deployment on loopback addresses; source this file.
# The caller sets build_folder (executables) and work_folder (settings and logs).

declare -A daemon_pids=()
standin_pid=""
standin_control="127.0.0.3:7200"

start_standin() { # SETTINGS [OPTION ...]
    "$build_folder/boragepath-standin" --settings "$1" --control "$standin_control" "${@:2}" \
        2>"$work_folder/standin.log" &
    standin_pid=$!
}

start_daemon() { # NUMBER
    "$build_folder/boragepathd" --settings "$work_folder/vm-$1.json" \
        >>"$work_folder/vm-$1.log" 2>&1 &
    daemon_pids[$1]=$!
}

daemon_list() { # COUNT
    local list=""
    for number in $(seq 1 "$1"); do
        list="$list${list:+,}127.0.0.$((10 + number)):7001"
    done
    echo "$list"
}

stop_deployment() {
    local pid
    for pid in "${daemon_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    if [ -n "$standin_pid" ]; then
        kill -KILL "$standin_pid" 2>/dev/null || true
    fi
    wait 2>/dev/null || true
}
