#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace chivebeam {

/// Strongly typed string identifier. Identifiers with different tags don't
/// convert into each other, so a service name can't be passed where a version
/// name is expected. Thread safety: same as std::string.
template <typename Tag> class basic_name {
public:
  basic_name() = default;
  explicit basic_name(std::string Value) : Text(std::move(Value)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend auto operator<=>(const basic_name &, const basic_name &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const basic_name &Name) {
    return Out << Name.Text;
  }

private:
  std::string Text;
};

using fleet_name = basic_name<struct fleet_tag>;
using node_id = basic_name<struct node_tag>;
using service_name = basic_name<struct service_tag>;
/// Identifies a worker, which is one process of a backend server. Several
/// starts of the process may share one name.
using worker_id = basic_name<struct worker_id_tag>;
using version_name = basic_name<struct version_tag>;
using route_name = basic_name<struct route_tag>;
using move_id = basic_name<struct move_tag>;
using region_name = basic_name<struct region_tag>;
using failure_domain = basic_name<struct failure_domain_tag>;
using workspace_name = basic_name<struct workspace_tag>;
using request_id = basic_name<struct request_tag>;
using publish_id = basic_name<struct publish_tag>;

} // namespace chivebeam

template <typename Tag> struct std::hash<chivebeam::basic_name<Tag>> {
  std::size_t operator()(const chivebeam::basic_name<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};
