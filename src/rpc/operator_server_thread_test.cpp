#include <shallotcove/rpc/operator_server.hpp>

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include <shallotcove/rpc/operator_client.hpp>

#include "fake_operator_handler.hpp"

namespace rpc = shallotcove::rpc;

// Guards against data races between the server's thread, the thread that stops it, and parallel clients.
int main()
{
    constexpr int rounds = 5;
    constexpr int clients = 4;
    constexpr int callsPerClient = 20;
    for (int round = 0; round < rounds; ++round) {
        // Deliberately not atomic: the handler runs on one thread only.
        int handled = 0;
        rpc::fake_operator_handler handler([&](const rpc::fake_operator_handler::recorded_call&) {
            ++handled;
            return rpc::call_result(Json::Value(Json::objectValue));
        });
        rpc::operator_server_options serverOptions;
        serverOptions.token = "0123456789abcdef";
        tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
            = rpc::operator_server::start(serverOptions, handler);
        if (!server) {
            std::fprintf(stderr, "%s\n", server.error().c_str());
            return 1;
        }
        std::atomic<int> answered {};
        std::atomic<int> refused {};
        std::vector<std::thread> threads;
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([&] {
                rpc::operator_client_options options;
                options.port = (*server)->port();
                options.token = serverOptions.token;
                rpc::operator_client operatorClient(options);
                for (int call = 0; call < callsPerClient; ++call) {
                    const tl::expected<Json::Value, rpc::client_error> result
                        = operatorClient.query("status", Json::Value(Json::objectValue));
                    if (result)
                        ++answered;
                    else if (result.error().kind == rpc::client_error_kind::Refused)
                        ++refused;
                }
            });
        }
        // Every second round stops the server while calls are being made.
        if (round % 2 == 1) {
            while (answered == 0)
                std::this_thread::yield();
            (*server)->stop();
        }
        for (std::thread& thread : threads)
            thread.join();
        (*server)->stop();
        const bool isComplete = round % 2 == 1 || answered == clients * callsPerClient;
        if (!isComplete || refused != 0 || handled < answered) {
            std::fprintf(stderr, "round %d: %d answered, %d handled, %d refused\n", round, answered.load(),
                handled, refused.load());
            return 1;
        }
    }
    return 0;
}
