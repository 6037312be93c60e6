// fakeexecutor.h: an executor that notes what it is asked and answers what it is told.
#pragma once

#include "sapphirespool/Proxy/executor.h"

#include <vector>

namespace sapphirespool::callers::testing
{

class FakeExecutor : public proxy::Executor
{
public:
    proxy::Reply reply{proxy::Answer{{}, UpstreamId("u1"), platform::Role::Replica}, "s-0000000000000001.aa"};
    proxy::BeginReply begun{proxy::TransactionBegun{TransactionId("vm1~1~s-0"), UpstreamId("u1")}, "s-0000000000000001.aa"};
    std::vector<proxy::StatementRequest> statements;
    std::vector<proxy::TransactionRequest> steps;
    std::size_t begins = 0;
    bool throws = false;

    auto execute(proxy::StatementRequest request) -> boost::asio::awaitable<proxy::Reply> override
    {
        this->statements.push_back(std::move(request));
        if (this->throws) {
            throw std::runtime_error("a fault in the proxy");
        }
        co_return this->reply;
    }

    auto begin(proxy::BeginRequest) -> boost::asio::awaitable<proxy::BeginReply> override
    {
        ++this->begins;
        co_return this->begun;
    }

    auto run(proxy::TransactionRequest request) -> boost::asio::awaitable<proxy::Reply> override
    {
        this->steps.push_back(std::move(request));
        co_return this->reply;
    }
};

} // namespace sapphirespool::callers::testing
