#include "Completion.h"

namespace ControlTool {

const char* bashCompletion()
{
    return R"(_eelctl() {
    local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}" words
    case "$previous" in
        service) words="list get put remove" ;;
        backend-server) words="list add set drain out activate weight remove" ;;
        domain) words="list put in out remove" ;;
        plan | apply | put) COMPREPLY=($(compgen -f -- "$current")); return ;;
        *) words="service backend-server domain protect unprotect protections plan apply history explain status wait
            completion --endpoint --author --reason --override --base --request-id --json --limit --expires-in-s
            --timeout-s --retry-s --call-timeout-s --failure-domain --region --tunnel --management --weight --slots --connections --warm-up-ms
            --tls-authorities --tls-certificate --tls-key --help --version" ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _eelctl eelctl
)";
}

}
