#include "bearer_token.hpp"

#include <array>

#include <sodium.h>

namespace shallotcove {
namespace rpc {

    namespace {

        using digest = std::array<unsigned char, crypto_generichash_BYTES>;

        digest computeDigest(const std::string& text)
        {
            digest result {};
            crypto_generichash(result.data(), result.size(),
                reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
            return result;
        }

    } // namespace

    bool isAuthorized(const std::string& authorizationHeader, const std::string& token)
    {
        // The digests have equal lengths, so that the comparison does not reveal the length of the token
        // either.
        const digest actual = computeDigest(authorizationHeader);
        const digest expected = computeDigest("Bearer " + token);
        return sodium_memcmp(actual.data(), expected.data(), expected.size()) == 0;
    }

} // namespace rpc
} // namespace shallotcove
