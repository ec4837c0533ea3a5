#include "backend_settings.h"

namespace toucan::standins {

using std::chrono::milliseconds;

void backend_settings::update(const nlohmann::json& body)
{
    const auto duration = [&body](const char* field, milliseconds current) {
        return milliseconds(body.value(field, current.count()));
    };
    slots = body.value("slots", slots);
    service_time = duration("service_ms", service_time);
    cold_for = duration("cold_for_ms", cold_for);
    cold_factor = body.value("cold_factor", cold_factor);
    report_lag = duration("report_lag_ms", report_lag);
    report_delay = duration("report_delay_ms", report_delay);
    state_override = body.value("lie_state", state_override);
    in_use_override = body.value("lie_in_use", in_use_override);
}

} // namespace toucan::standins
