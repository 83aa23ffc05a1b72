# Sourced by the start scripts: launch MODULE JAR JVM_FLAGS... -- ARGS...
# Runs a program's jar in place of the script, so that the script's pid is the program's.
# JAVA names another JVM, JAVA_OPTS adds flags; a later flag overrides an earlier one.

launch() {
  local module="$1" jar="$2.jar" home flags=()
  shift 2
  while [[ "$1" != "--" ]]; do
    flags+=("$1")
    shift
  done
  shift
  home="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
  local path="$home/lib/$jar"
  [[ -f "$path" ]] || path="$home/$module/target/$jar"
  if [[ ! -f "$path" ]]; then
    echo "${jar%.jar}: no $jar in lib/ or $module/target/; build it with: mvn -B -DskipTests package" >&2
    exit 1
  fi
  # shellcheck disable=SC2086 # JAVA_OPTS holds several flags
  exec "${JAVA:-java}" "${flags[@]}" ${JAVA_OPTS:-} -jar "$path" "$@"
}
