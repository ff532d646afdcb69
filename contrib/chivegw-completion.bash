# Bash completion for chivegw: source this file.
_chivegw() {
	local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]}
	local commands="generate check apply status rollout withdraw explain load version"
	local options="--help"
	if [ "$COMP_CWORD" -eq 1 ]; then
		mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
		return
	fi
	case $command in
	generate) options+=" --output" ;;
	check) options+=" --config" ;;
	apply | withdraw) options+=" --platform --wait --json" ;;
	status) options+=" --platform --json" ;;
	rollout)
		options+=" --from --to --steps --platform --wait --json"
		[ "$COMP_CWORD" -eq 2 ] && options="start pause resume stop"
		;;
	explain) options+=" --node --platform --key-file --json" ;;
	load)
		options+=" --target --rate --seconds --mix --key --service --model"
		options+=" --tokens --deadline-ms --seed --platform --output --log --json"
		;;
	esac
	mapfile -t COMPREPLY < <(compgen -W "$options" -f -- "$word")
}
complete -F _chivegw chivegw
