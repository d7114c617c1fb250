#include "charts/state_chart_loader.h"

namespace chivebeam {

namespace json = boost::json;

void state_chart_loader::fail(std::string Path, std::string Message,
                              std::string Remedy) {
  Errors.push_back({error_kind::invalid_input, std::move(Path),
                    std::move(Message), std::move(Remedy)});
}

checked<state_chart> state_chart_loader::load(std::string_view Text) {
  checked<json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  readDocument(*Document);
  if (Errors.empty()) {
    checkTargets();
    checkReachable();
  }
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return std::move(Chart);
}

void state_chart_loader::readDocument(const json::value &Document) {
  object_reader Reader(Document, "", Errors);
  Chart.Name = Reader.text("name");
  Chart.Initial = Reader.text("initial");
  readNames(Reader, "events", Events);
  readNames(Reader, "guards", Guards);
  readNames(Reader, "actions", Actions);
  readStates(Reader.find("states"));
  Reader.finish();
}

void state_chart_loader::readNames(object_reader &Reader, std::string_view Key,
                                   std::set<std::string> &Names) {
  Reader.forEach(Key, false, [&](const json::value &Value, std::string Path) {
    if (Value.is_string())
      Names.emplace(Value.get_string());
    else
      fail(std::move(Path), "is not a string", "write the name in quotes");
  });
}

void state_chart_loader::readStates(const json::value *States) {
  if (!States || !States->is_object()) {
    fail("/states", "missing", "add an object with one field for each state");
    return;
  }
  for (const json::key_value_pair &Field : States->get_object())
    readState(std::string(Field.key()), Field.value());
}

void state_chart_loader::readState(const std::string &Name,
                                   const json::value &Value) {
  std::string Path = "/states/" + Name;
  object_reader Reader(Value, Path, Errors);
  state_chart::state State;
  State.Final = Reader.flagOr("final", false);
  Reader.forEach(
      "on", false, [&](const json::value &Element, std::string ElementPath) {
        State.Transitions.push_back(readTransition(Element, ElementPath));
      });
  Reader.finish();
  if (State.Final == !State.Transitions.empty())
    fail(Path,
         State.Final ? "a final state has transitions"
                     : "a state that is not final has no transitions",
         "correct \"final\" or \"on\"");
  Chart.States.emplace(Name, std::move(State));
}

chart_transition state_chart_loader::readTransition(const json::value &Value,
                                                    const std::string &Path) {
  object_reader Reader(Value, Path, Errors);
  chart_transition Transition;
  Transition.Event = Reader.text("event");
  Transition.Guard = Reader.textOr("guard", "");
  Transition.Target = Reader.text("to");
  std::set<std::string> Named;
  Reader.forEach("do", false, [&](const json::value &Name, std::string) {
    if (Name.is_string())
      Transition.Actions.emplace_back(Name.get_string());
  });
  Reader.finish();
  requireDeclared(Events, Transition.Event, Path + "/event");
  if (!Transition.Guard.empty())
    requireDeclared(Guards, Transition.Guard, Path + "/guard");
  for (const std::string &Action : Transition.Actions)
    requireDeclared(Actions, Action, Path + "/do");
  return Transition;
}

void state_chart_loader::requireDeclared(const std::set<std::string> &Names,
                                         const std::string &Name,
                                         const std::string &Path) {
  if (!Names.contains(Name))
    fail(Path, "\"" + Name + "\" is not declared",
         "add it to the list at the top of the chart or correct the name");
}

void state_chart_loader::checkTargets() {
  if (!Chart.States.contains(Chart.Initial))
    fail("/initial", "state \"" + Chart.Initial + "\" does not exist",
         "name one of the states");
  for (const auto &[Name, State] : Chart.States)
    for (const chart_transition &Transition : State.Transitions)
      if (!Chart.States.contains(Transition.Target))
        fail("/states/" + Name,
             "target \"" + Transition.Target + "\" does not exist",
             "name one of the states");
}

void state_chart_loader::checkReachable() {
  std::set<std::string> Reached{Chart.Initial};
  std::vector<std::string> Pending{Chart.Initial};
  while (!Pending.empty() && Errors.empty()) {
    std::string Name = Pending.back();
    Pending.pop_back();
    for (const chart_transition &Transition : Chart.States[Name].Transitions)
      if (Reached.insert(Transition.Target).second)
        Pending.push_back(Transition.Target);
  }
  for (const auto &[Name, State] : Chart.States)
    if (Errors.empty() && !Reached.contains(Name))
      fail("/states/" + Name, "is not reachable from the initial state",
           "add a transition to it or remove it");
}

} // namespace chivebeam
