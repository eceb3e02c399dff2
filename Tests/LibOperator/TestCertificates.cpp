#include "TestCertificates.h"
#include <LibBase/Verify.h>
#include <memory>
#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace Operator {

namespace {

    using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
    using Buffer = std::unique_ptr<BIO, decltype(&BIO_free)>;

    constexpr long validitySeconds = 86'400;

    Key makeKey()
    {
        Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        VERIFY(key != nullptr);
        return key;
    }

    std::string contentOf(BIO* buffer)
    {
        std::string text(BIO_pending(buffer), '\0');
        VERIFY(BIO_read(buffer, text.data(), static_cast<int>(text.size())) == static_cast<int>(text.size()));
        return text;
    }

    std::string toPem(X509* certificate)
    {
        const Buffer buffer(BIO_new(BIO_s_mem()), BIO_free);
        VERIFY(PEM_write_bio_X509(buffer.get(), certificate) == 1);
        return contentOf(buffer.get());
    }

    std::string toPem(EVP_PKEY* key)
    {
        const Buffer buffer(BIO_new(BIO_s_mem()), BIO_free);
        VERIFY(PEM_write_bio_PrivateKey(buffer.get(), key, nullptr, nullptr, 0, nullptr, nullptr) == 1);
        return contentOf(buffer.get());
    }

    Key keyFromPem(const std::string& text)
    {
        const Buffer buffer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), BIO_free);
        return { PEM_read_bio_PrivateKey(buffer.get(), nullptr, nullptr, nullptr), EVP_PKEY_free };
    }

    Certificate certificateFromPem(const std::string& text)
    {
        const Buffer buffer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), BIO_free);
        return { PEM_read_bio_X509(buffer.get(), nullptr, nullptr, nullptr), X509_free };
    }

    void addExtension(X509* certificate, int identifier, const char* value)
    {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, identifier, value);
        VERIFY(extension != nullptr);
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }

    Certificate makeCertificate(const std::string& name, EVP_PKEY* key)
    {
        Certificate certificate(X509_new(), X509_free);
        X509_set_version(certificate.get(), X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validitySeconds);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validitySeconds);
        X509_set_pubkey(certificate.get(), key);
        X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_ASC,
            reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        return certificate;
    }

}

TestAuthority::TestAuthority(const std::string& name)
{
    const auto key = makeKey();
    const auto certificate = makeCertificate(name, key.get());
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(certificate.get()));
    addExtension(certificate.get(), NID_basic_constraints, "critical,CA:TRUE");
    VERIFY(X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0);
    authority_ = { toPem(certificate.get()), toPem(key.get()) };
}

TestCertificate TestAuthority::issue(const std::string& name) const
{
    const auto authorityKey = keyFromPem(authority_.privateKey);
    const auto authority = certificateFromPem(authority_.certificate);
    const auto key = makeKey();
    const auto certificate = makeCertificate(name, key.get());
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(authority.get()));
    addExtension(certificate.get(), NID_subject_alt_name, "IP:127.0.0.1");
    VERIFY(X509_sign(certificate.get(), authorityKey.get(), EVP_sha256()) > 0);
    return { toPem(certificate.get()), toPem(key.get()) };
}

}
