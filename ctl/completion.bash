# Bash completion of lacewingctl; source it from ~/.bashrc.
_lacewingctl() {
	local word=${COMP_WORDS[COMP_CWORD]} command= i
	local commands="check submit get list watch cancel why stuck account \
		config new instances upstreams events drain report"

	for ((i = 1; i < COMP_CWORD; i++)); do
		if [[ " $commands " == *" ${COMP_WORDS[i]} "* ]]; then
			command=${COMP_WORDS[i]}
			break
		fi
	done
	case $command in
	'')
		mapfile -t COMPREPLY < <(compgen -W "$commands --server --json \
			--timeout-ms --help" -- "$word")
		;;
	config)
		mapfile -t COMPREPLY < <(compgen -W "get check diff apply" -- \
			"$word")
		;;
	report)
		if [[ $word == -* ]]; then
			mapfile -t COMPREPLY < <(compgen -W "--job --waste \
				--svg --account --queue --since --until \
				--json --help" -- "$word")
		else
			mapfile -t COMPREPLY < <(compgen -f -- "$word")
		fi
		;;
	*)
		mapfile -t COMPREPLY < <(compgen -f -- "$word")
		;;
	esac
}
complete -F _lacewingctl lacewingctl
