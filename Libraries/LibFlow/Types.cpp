#include <LibBase/Verify.h>
#include <LibFlow/Types.h>

namespace Flow {

std::string_view toString(HandOverReason reason)
{
    switch (reason) {
    case HandOverReason::ToOwner:
        return "to_owner";
    case HandOverReason::AskPreviousOwner:
        return "ask_previous_owner";
    case HandOverReason::NotHere:
        return "not_here";
    case HandOverReason::Spill:
        return "spill";
    }
    VERIFY_NOT_REACHED();
}

std::string_view toString(DropReason reason)
{
    switch (reason) {
    case DropReason::UnknownAddress:
        return "unknown_address";
    case DropReason::UnknownBackendServer:
        return "unknown_backend_server";
    case DropReason::WrongServiceForBackendServer:
        return "wrong_service_for_backend_server";
    case DropReason::NoFlow:
        return "no_flow";
    case DropReason::StaleAnswer:
        return "stale_answer";
    case DropReason::HandOverLimit:
        return "hand_over_limit";
    case DropReason::NoOwner:
        return "no_owner";
    case DropReason::BackendServerOut:
        return "backend_server_out";
    case DropReason::DomainOut:
        return "domain_out";
    case DropReason::QueueFull:
        return "queue_full";
    case DropReason::DuplicateFirstPacket:
        return "duplicate_first_packet";
    case DropReason::SlotBusy:
        return "slot_busy";
    case DropReason::NotReady:
        return "not_ready";
    case DropReason::Malformed:
        return "malformed";
    }
    VERIFY_NOT_REACHED();
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoBackendServer:
        return "no_backend_server";
    case RefusalReason::NoRoom:
        return "no_room";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::ShedByPriority:
        return "shed_by_priority";
    case RefusalReason::RefusedByBackendServer:
        return "refused_by_backend_server";
    case RefusalReason::RetryBudgetExhausted:
        return "retry_budget_exhausted";
    case RefusalReason::DomainOut:
        return "domain_out";
    case RefusalReason::NotReady:
        return "not_ready";
    }
    VERIFY_NOT_REACHED();
}

std::string_view toString(ExecutionStatus truth)
{
    switch (truth) {
    case ExecutionStatus::NotRun:
        return "not_run";
    case ExecutionStatus::RefusedByBackendServer:
        return "refused_by_backend_server";
    case ExecutionStatus::Unknown:
        return "unknown";
    }
    VERIFY_NOT_REACHED();
}

std::string_view toString(RetryReason reason)
{
    switch (reason) {
    case RetryReason::BackendServerRefused:
        return "backend_server_refused";
    case RetryReason::NoAnswer:
        return "no_answer";
    case RetryReason::BackendServerLost:
        return "backend_server_lost";
    }
    VERIFY_NOT_REACHED();
}

}
