// A stand-in for the platform's metadata store, as PROTOCOL.md and the news
// page describe it: items with revisions, leases, conditional writes, watches,
// and a drill after which it comes back from an older copy.
#pragma once

#include <boost/json.hpp>

#include "http.h"

namespace review {

namespace json = boost::json;

inline std::string encode_base64(std::string_view Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t I = 0; I < 3; ++I)
      Group = Group << 8 |
              (I < Count ? static_cast<unsigned char>(Bytes[At + I]) : 0);
    for (std::size_t I = 0; I < 4; ++I)
      Out += I <= Count ? Digits[Group >> (18 - 6 * I) & 63] : '=';
  }
  return Out;
}

inline std::string decode_base64(std::string_view Text) {
  static const std::string Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Digit : Text) {
    std::size_t Value = Digits.find(Digit);
    if (Value == std::string::npos)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Out;
}

inline std::string query_parameter(const std::string &Target,
                                   const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Pair = Target.substr(
        At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.rfind(Name + "=", 0) == 0) {
      std::string Text;
      for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I) {
        if (Pair[I] == '%' && I + 2 < Pair.size()) {
          Text += static_cast<char>(
              std::strtol(Pair.substr(I + 1, 2).c_str(), nullptr, 16));
          I += 2;
        } else {
          Text += Pair[I];
        }
      }
      return Text;
    }
    At = End;
  }
  return {};
}

class store {
public:
  bool start(const endpoint &At) {
    Reaper = std::thread([this] {
      while (!Ended) {
        pause_ms(50);
        std::lock_guard Lock(Mutex);
        expireLeases();
      }
    });
    return Door.start(At, [this](int Socket) { serve(Socket); });
  }
  void stop() {
    Ended = true;
    Changed.notify_all();
    Door.stop();
    if (Reaper.joinable())
      Reaper.join();
  }

  /// Writes as the operator or the platform does.
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(Mutex);
    ++Revision;
    write(Key, encode_base64(Value), 0);
    Changed.notify_all();
  }
  /// Returns the decoded value; empty if the key does not exist.
  std::string value(const std::string &Key) {
    std::lock_guard Lock(Mutex);
    auto Found = State.Items.find(Key);
    return Found == State.Items.end() ? std::string()
                                      : decode_base64(Found->second.Value);
  }
  std::uint64_t revisionOf(const std::string &Key) {
    std::lock_guard Lock(Mutex);
    auto Found = State.Items.find(Key);
    return Found == State.Items.end() ? 0 : Found->second.Revision;
  }
  std::vector<std::string> keys() {
    std::lock_guard Lock(Mutex);
    std::vector<std::string> Keys;
    for (const auto &[Key, Item] : State.Items)
      Keys.push_back(Key + "@" + std::to_string(Item.Revision));
    return Keys;
  }
  std::uint64_t era() const { return Era; }

  /// While away, the store accepts connections and answers nothing.
  void setAway(bool IsAway) {
    {
      std::lock_guard Lock(Mutex);
      Away = IsAway;
      Changed.notify_all();
    }
    Door.cutAll();
  }
  /// While busy, the store answers 503 to everything, and leases pause.
  void setBusy(bool IsBusy) {
    {
      std::lock_guard Lock(Mutex);
      if (IsBusy)
        BusySince = now();
      else
        for (auto &[Id, Lease] : State.Leases)
          Lease.Ends += now() - BusySince;
      Busy = IsBusy;
      ++Cuts;
      Changed.notify_all();
    }
    Door.cutAll();
  }
  /// Keeps a copy of everything, leases too.
  void saveCopy() {
    std::lock_guard Lock(Mutex);
    Copy = State;
    CopyRevision = Revision;
  }
  /// Comes back from the copy in a new era: later writes are gone, revisions
  /// are given out again, the leases of the copy run anew.
  void restoreCopy() {
    {
      std::lock_guard Lock(Mutex);
      State = Copy;
      Revision = CopyRevision;
      std::erase_if(History, [this](const json::object &Event) {
        return Event.at("revision").to_number<std::uint64_t>() > Revision;
      });
      for (auto &[Id, Lease] : State.Leases)
        Lease.Ends = now() + ms(Lease.TtlMs);
      ++Era;
      ++Cuts;
      Changed.notify_all();
    }
    Door.cutAll();
  }

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct lease {
    std::int64_t TtlMs = 0;
    time_point Ends;
  };
  struct content {
    std::map<std::string, item> Items;
    std::map<std::uint64_t, lease> Leases;
  };

  static json::object toJson(const std::string &Key, const item &Item) {
    return {{"key", Key},
            {"value", Item.Value},
            {"revision", Item.Revision},
            {"created", Item.Created},
            {"lease", Item.Lease}};
  }
  void write(const std::string &Key, const std::string &Value,
             std::uint64_t Lease) {
    item &Item = State.Items[Key];
    Item.Value = Value;
    Item.Revision = Revision;
    if (Item.Created == 0)
      Item.Created = Revision;
    Item.Lease = Lease;
    History.push_back(toJson(Key, Item));
  }
  void remove(const std::string &Key) {
    if (State.Items.erase(Key) > 0)
      History.push_back(
          {{"key", Key}, {"revision", Revision}, {"removed", true}});
  }
  void endLease(std::uint64_t Id) {
    State.Leases.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Item] : State.Items)
      if (Item.Lease == Id)
        Keys.push_back(Key);
    if (Keys.empty())
      return;
    ++Revision;
    for (const std::string &Key : Keys)
      remove(Key);
    Changed.notify_all();
  }
  void expireLeases() {
    if (Away || Busy)
      return;
    std::vector<std::uint64_t> Due;
    for (const auto &[Id, Lease] : State.Leases)
      if (Lease.Ends <= now())
        Due.push_back(Id);
    for (std::uint64_t Id : Due)
      endLease(Id);
  }

  struct answer {
    int Status = 200;
    json::object Body;
  };

  void serve(int Socket) {
    message_reader Reader(Socket);
    while (std::optional<message> Request = Reader.next(false)) {
      std::optional<answer> Answer;
      std::uint64_t EraNow;
      {
        std::unique_lock Lock(Mutex);
        if (Away) {
          // No answer while away, and none later on this connection.
          Changed.wait(Lock, [this] { return !Away || Ended; });
          return;
        }
        Answer = Busy ? answer{503, {}} : handle(*Request, Lock);
        EraNow = Era;
      }
      if (!Answer)
        return;
      pause_ms(2);
      std::string Text = json::serialize(Answer->Body);
      std::string Head =
          "HTTP/1.1 " + std::to_string(Answer->Status) + " X\r\n" +
          "Content-Type: application/json\r\nStore-Era: " +
          std::to_string(EraNow) +
          "\r\nContent-Length: " + std::to_string(Text.size()) + "\r\n\r\n";
      if (!send_all(Socket, Head + Text))
        return;
    }
  }

  std::optional<answer> handle(const message &Request,
                               std::unique_lock<std::mutex> &Lock) {
    const std::string &Target = Request.Target;
    std::string Path = Target.substr(0, Target.find('?'));
    json::value Body;
    if (!Request.Body.empty()) {
      boost::system::error_code Code;
      Body = json::parse(Request.Body, Code);
    }
    if (Path == "/kv-key")
      return key(query_parameter(Target, "key"));
    if (Path == "/kv-range")
      return range(Target);
    if (Path == "/kv-watch")
      return watch(Target, Lock);
    if (Path == "/kv-txn" && Body.is_object())
      return transact(Body.get_object());
    if (Path == "/kv-lease" && Body.is_object()) {
      std::int64_t Ttl = Body.at("ttlS").to_number<std::int64_t>();
      std::uint64_t Id = ++NextLease;
      State.Leases[Id] = {Ttl * 1000, now() + std::chrono::seconds(Ttl)};
      return answer{200, {{"lease", Id}, {"ttlS", Ttl}}};
    }
    std::size_t Slash = Path.rfind('/');
    std::uint64_t Id =
        std::strtoull(Path.substr(Slash + 1).c_str(), nullptr, 10);
    if (Path.rfind("/kv-keep/", 0) == 0) {
      auto Found = State.Leases.find(Id);
      if (Found == State.Leases.end())
        return answer{404, {}};
      Found->second.Ends = now() + ms(Found->second.TtlMs);
      return answer{200, {{"ttlS", Found->second.TtlMs / 1000}}};
    }
    if (Path.rfind("/kv-lease-end/", 0) == 0) {
      bool IsKnown = State.Leases.count(Id) > 0;
      endLease(Id);
      return answer{IsKnown ? 200 : 404, {}};
    }
    return answer{400, {}};
  }

  answer key(const std::string &Key) {
    auto Found = State.Items.find(Key);
    if (Found == State.Items.end())
      return {404, {{"asOf", Revision}}};
    json::object Out = toJson(Key, Found->second);
    Out["asOf"] = Revision;
    return {200, std::move(Out)};
  }
  answer range(const std::string &Target) {
    std::string Prefix = query_parameter(Target, "prefix");
    std::string After = query_parameter(Target, "after");
    json::array Items;
    for (const auto &[Key, Item] : State.Items)
      if (Key.rfind(Prefix, 0) == 0 && Key > After)
        Items.push_back(toJson(Key, Item));
    return {200,
            {{"items", std::move(Items)},
             {"hasMore", false},
             {"asOf", Revision}}};
  }
  std::optional<answer> watch(const std::string &Target,
                              std::unique_lock<std::mutex> &Lock) {
    std::string Prefix = query_parameter(Target, "prefix");
    std::uint64_t After =
        std::strtoull(query_parameter(Target, "after").c_str(), nullptr, 10);
    std::int64_t Wait =
        std::strtoll(query_parameter(Target, "waitMs").c_str(), nullptr, 10);
    time_point Until = now() + ms(Wait);
    std::uint64_t CutsBefore = Cuts;
    if (After > Revision)
      return answer{410, {}};
    for (;;) {
      json::array Events;
      for (const json::object &Event : History)
        if (Event.at("revision").to_number<std::uint64_t>() > After &&
            std::string(Event.at("key").get_string()).rfind(Prefix, 0) == 0)
          Events.push_back(Event);
      if (!Events.empty() || now() >= Until)
        return answer{200, {{"events", std::move(Events)}, {"asOf", Revision}}};
      Changed.wait_until(Lock, Until);
      if (Ended || Away || Cuts != CutsBefore)
        return std::nullopt;
    }
  }
  answer transact(const json::object &Body) {
    json::array Current;
    bool Holds = true;
    for (const json::value &Row : Body.at("expected").as_array()) {
      std::string Key(Row.at("key").as_string());
      auto Found = State.Items.find(Key);
      std::uint64_t Is = Found == State.Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Is == Row.at("revision").to_number<std::uint64_t>();
      if (Found != State.Items.end())
        Current.push_back(toJson(Key, Found->second));
    }
    if (!Holds)
      return {412, {{"items", std::move(Current)}}};
    for (const json::value &Put : Body.at("puts").as_array()) {
      std::uint64_t Lease = Put.at("lease").to_number<std::uint64_t>();
      if (Lease != 0 && State.Leases.count(Lease) == 0)
        return {404, {}};
      std::string Key(Put.at("key").as_string());
      if (Key.rfind("op/", 0) == 0 || Key.rfind("servers/", 0) == 0)
        return {403, {}};
    }
    ++Revision;
    for (const json::value &Put : Body.at("puts").as_array())
      write(std::string(Put.at("key").as_string()),
            std::string(Put.at("value").as_string()),
            Put.at("lease").to_number<std::uint64_t>());
    if (const json::value *Deletes = Body.if_contains("deletes"))
      for (const json::value &Key : Deletes->as_array())
        remove(std::string(Key.as_string()));
    Changed.notify_all();
    return {200, {{"revision", Revision}}};
  }

  server Door;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::thread Reaper;
  std::atomic<bool> Ended = false;
  bool Away = false, Busy = false;
  time_point BusySince;
  content State, Copy;
  std::vector<json::object> History;
  std::uint64_t Revision = 10, CopyRevision = 10, NextLease = 1000, Cuts = 0;
  std::atomic<std::uint64_t> Era = 1;
};

} // namespace review
