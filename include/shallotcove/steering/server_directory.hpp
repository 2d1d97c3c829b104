#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/server_record.hpp>

namespace shallotcove::steering {

struct steering_options;

/// All backend servers that a flow may belong to, by tag, and those that new flows may go to, by service.
class server_directory {
public:
    explicit server_directory(const steering_options&);

    // Commands.

    /// Applies a new or changed entry. Of the listed servers with the same tag, the one that started first
    /// holds it. Returns false if that is another server; this one then gets no flows until it holds the tag.
    bool apply(const server_entry&, core::timestamp now);
    /// Handles an entry that is no longer in the store. If the removal is uncertain, the server stays in use
    /// for the time given in the options.
    void remove(std::string_view serverId, bool isUncertain, core::timestamp now);
    /// Completes uncertain removals whose time has passed, and drops the records of servers that left long
    /// ago.
    void expire(core::timestamp now);
    server_record* find(server_tag);
    /// Returns the tags that passed to another server since the last call. Flows with such a tag belonged to
    /// the former one.
    std::vector<server_tag> takeReassignedTags();

    // Queries.

    const server_record* find(server_tag) const;
    /// Servers of a service that are in the store or whose removal is uncertain, sorted by tag. The reference
    /// is valid until the next command.
    const std::vector<server_record*>& serversOf(std::string_view service) const;
    /// Records of all known servers, including those that left.
    const std::unordered_map<server_tag, server_record>& all() const { return m_records; }
    /// Names of the data centres that any known server is or was in.
    const std::vector<std::string>& dataCentres() const { return m_dataCentres; }
    /// Number of servers in the data centre of the given one that are in the store or whose removal is
    /// uncertain.
    std::size_t countInDataCentreOf(const server_record& server) const
    {
        return m_serverCounts[server.dataCentreIndex];
    }

private:
    /// Sets the entry of the server that holds its tag.
    void setEntry(const server_entry&, core::timestamp now);
    /// Gives the tag to the first of the servers that wait for it, if any.
    void giveTagToFirst(server_tag, core::timestamp now);
    std::size_t dataCentreIndexOf(const std::string& dataCentre);
    /// Adds the server to the list of its service and to the count of its data centre.
    void addToService(server_record&);
    void removeFromService(const server_record&);
    void markLeft(server_record&, core::timestamp now);

    core::duration m_uncertainRemovalGrace;
    core::duration m_departedServerRetention;
    std::unordered_map<server_tag, server_record> m_records;
    /// Listed servers whose tag another server holds.
    std::unordered_map<server_tag, std::vector<server_entry>> m_serversWithoutTag;
    std::vector<server_tag> m_reassignedTags;
    std::map<std::string, std::vector<server_record*>, std::less<>> m_services;
    std::vector<std::string> m_dataCentres;
    /// Servers that are in the store or whose removal is uncertain, by index of the data centre.
    std::vector<std::size_t> m_serverCounts;
};

} // namespace shallotcove::steering
