#pragma once

/// Creates a certificate authority and certificates for tests. All are valid from one day before to one day after their
/// creation.

#include <string>

namespace Operator {

/// A certificate and its private key, PEM-encoded.
struct TestCertificate {
    std::string certificate;
    std::string privateKey;
};

/// A self-signed certificate authority.
class TestAuthority {
public:
    explicit TestAuthority(const std::string& name);

    /// The authority's certificate, PEM-encoded.
    const std::string& certificate() const { return authority_.certificate; }
    /// Issues a certificate for 127.0.0.1 with the given common name.
    TestCertificate issue(const std::string& name) const;

private:
    TestCertificate authority_;
};

}
