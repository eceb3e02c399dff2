#pragma once

#include "../Measurement.h"

namespace Measure {

/// Operators at four endpoints change a few objects while the store loses responses. Compares the production acceptor
/// with a naive one that has no request ids or base revisions, using the same seed.
int runChangeAcceptance(const Request&, Report&);

}
