# Completion of bergamotctl for bash: commands and options come from its help.
_bergamotctl() {
	local word=${COMP_WORDS[COMP_CWORD]}

	if [ "$COMP_CWORD" = 1 ]; then
		mapfile -t COMPREPLY < <(compgen -W "$(bergamotctl --help |
			sed -n 's/^  \([a-z-]*\) .*/\1/p')" -- "$word")
	elif [[ $word == -* ]]; then
		mapfile -t COMPREPLY < <(compgen -W "$(bergamotctl \
			"${COMP_WORDS[1]}" --help | grep -o -- '--[a-z-]*' |
			sort -u)" \
			-- "$word")
	else
		mapfile -t COMPREPLY < <(compgen -f -- "$word")
	fi
}
complete -F _bergamotctl bergamotctl
