#include "sapphirespool/Decisions/settings.h"

namespace sapphirespool::decisions
{

auto fifoSettings() -> DispatcherSettings
{
    auto settings = DispatcherSettings();
    settings.queue.discipline = QueueDiscipline::Fifo;
    settings.admission.enabled = false;
    settings.routing.enabled = false;
    settings.ejection.enabled = false;
    settings.slowStart.enabled = false;
    settings.concurrency.enabled = false;
    settings.bulkhead.enabled = false;
    settings.dependency.enabled = false;
    settings.brownout.enabled = false;
    settings.retryBudget = false;
    settings.classWeights = false;
    return settings;
}

} // namespace sapphirespool::decisions
