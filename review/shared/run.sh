# Shared by the cases: runs `case.js` of the folder named by the first argument and passes its exit code on.
# 0: the rule held, 1: the rule was broken, 2: the case could not run.
run_case() {
	local folder=$1 root
	root=$(cd "$folder/../.." && pwd)
	if [ ! -f "$root/target/gateway.cjs" ] || [ ! -f "$root/testing/platform-stand-in/lib/index.js" ]; then
		echo 'cannot run: build the gateway as the deploy file does, then run review/build.sh' >&2
		return 2
	fi

	local code=0
	node "$folder/case.js" || code=$?
	case $code in
		0 | 1 | 2) return "$code" ;;
		*) return 2 ;;
	esac
}
