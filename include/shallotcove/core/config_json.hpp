#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/service_config.hpp>

namespace shallotcove::core {

/// A problem found in a JSON value: one from the store or the request of an operator call.
struct config_problem {
    /// Path within the value, for example "servers[2].address".
    std::string path;
    /// The value found and the values allowed.
    std::string message;

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

using config_problems = std::vector<config_problem>;

/// Parses the value of services/<name>. All problems are reported together; unknown fields are rejected.
tl::expected<service_config, config_problems> parseServiceConfig(std::string_view json);
std::string formatServiceConfig(const service_config&);

/// Parses the value of data-centres/<name>.
tl::expected<data_centre_config, config_problems> parseDataCentreConfig(std::string_view json);
std::string formatDataCentreConfig(const data_centre_config&);

/// Value of addresses/<ip>:<port>/<protocol>: reserves a service address.
struct address_reservation {
    std::string serviceName;
    service_id service;
    /// True while the service is being removed; the address is free once every host has applied the removal.
    bool isRemoving {};

    friend bool operator==(const address_reservation&, const address_reservation&) = default;
};

tl::expected<address_reservation, config_problems> parseAddressReservation(std::string_view json);
std::string formatAddressReservation(const address_reservation&);

/// Store keys of a service, a data centre and the reservation of a service address.
std::string serviceKey(std::string_view name);
std::string dataCentreKey(std::string_view name);
std::string addressKey(const socket_address&, transport);

} // namespace shallotcove::core
