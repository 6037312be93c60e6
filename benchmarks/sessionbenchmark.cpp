// sessionbenchmark.cpp: processor time that a session takes for a statement of an open transaction, without a network.
//
// The databases are the fakes of unittests/Interactive; the argument is the number of customers in the view, with two keys each.
#include "Interactive/sessionfixture.h"

#include <benchmark/benchmark.h>

#include <string>

namespace sapphirespool::interactive
{

namespace
{

auto customersOf(std::int64_t count) -> std::vector<membership::CustomerView>
{
    auto customers = std::vector<membership::CustomerView>();
    for (auto number = std::int64_t{0}; number < count; ++number) {
        auto customer = membership::CustomerView();
        customer.id = CustomerId("customer-" + std::to_string(number));
        customer.keys = {membership::digestOf("key-" + std::to_string(number)), membership::digestOf("other-" + std::to_string(number))};
        customers.push_back(std::move(customer));
    }
    return customers;
}

auto statementsInTransaction(benchmark::State &state) -> void
{
    auto proxy = Proxy(membership::Consistency::Strong);
    proxy.databases.service.requiresKey = true;
    proxy.databases.customers = customersOf(state.range(0));
    ++proxy.databases.revision;
    proxy.publish();
    const auto session = proxy.open("key-0");
    proxy.run(session, statementOf(StatementKind::Begin));
    for (const auto each : state) {
        static_cast<void>(each);
        const auto reply = proxy.run(session, fetch("item"));
        if (reply.failure) {
            state.SkipWithError("the statement failed");
            break;
        }
        proxy.databases.received.clear();
    }
}

} // namespace

BENCHMARK(statementsInTransaction)->Arg(1)->Arg(100)->Arg(10'000);

} // namespace sapphirespool::interactive

BENCHMARK_MAIN();
