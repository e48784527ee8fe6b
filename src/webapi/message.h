#pragma once

#include <compare>
#include <map>
#include <string>

namespace hawthornpick::webapi {

//! HTTP request to an administrative interface, with its complete body.
struct request
{
    std::string method;
    //! Path without the query.
    std::string path;
    //! Decoded query parameters by name.
    std::map<std::string, std::string> query;
    //! Value of the `Authorization` header without the scheme `Bearer`.
    std::string bearerToken;
    std::string body;
    //! Header values by lower-case name; a repeated header has its last value.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const request &) const = default;
};

//! HTTP response with its complete body.
struct response
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    //! Additional header fields by name.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const response &) const = default;
};

} // namespace hawthornpick::webapi
