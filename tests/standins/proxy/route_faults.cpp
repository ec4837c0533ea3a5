#include "route_faults.h"

namespace toucan::standins {

using std::chrono::milliseconds;

void route_faults::update(const nlohmann::json& body)
{
    cut = body.value("cut", cut);
    blackhole = body.value("blackhole", blackhole);
    drop_forward = body.value("drop_forward", drop_forward);
    drop_back = body.value("drop_back", drop_back);
    delay_forward = milliseconds(body.value("delay_forward_ms", delay_forward.count()));
    delay_back = milliseconds(body.value("delay_back_ms", delay_back.count()));
    jitter = milliseconds(body.value("jitter_ms", jitter.count()));
    truncate_after = body.value("truncate_after", truncate_after);
}

} // namespace toucan::standins
