#include <CLI/CLI.hpp>

#include "app/commands.h"
#include "app/tokens_command.h"

int main(int argc, char** argv) {
  using namespace garnethook::app;
  CLI::App program{
      "garnethook: a router for language-model serving with reads and writes on separate engines"};
  program.require_subcommand(1);
  int code = 0;
  std::string config;

  auto* serveCommand =
      program.add_subcommand("serve", "Run the router. SIGTERM drains it, SIGHUP reloads its settings");
  serveCommand->add_option("--config", config, "Settings, JSON with comments")->required();
  serveCommand->callback([&] { code = serve(config); });

  std::string runLevel = "info";
  auto* runCommand = program.add_subcommand(
      "run", "Run the router on the platform that RELAY_CONFIG and the other RELAY_ variables tell of");
  runCommand->add_option("--log", runLevel, "Log level")->envname("GARNETHOOK_LOG")->capture_default_str();
  runCommand->callback([&] { code = run(runLevel); });

  auto* checkCommand = program.add_subcommand("check", "Check the settings and the engine list");
  checkCommand->add_option("--config", config, "Settings, JSON with comments")->required();
  checkCommand->callback([&] { code = check(config); });

  auto* standinCommand = program.add_subcommand("standin", "Run stand-in engines on loopback");
  standinCommand->add_option("--config", config, "Engines, JSON with comments")->required();
  standinCommand->callback([&] { code = standIn(config); });

  DemoOptions demoOptions;
  auto* demoCommand = program.add_subcommand("demo", "Run a router with a small fleet of stand-ins");
  demoCommand->add_option("--listen", demoOptions.listen, "Address of the router")->capture_default_str();
  demoCommand->add_option("--once", demoOptions.once, "Ask this, print the streamed answer and end");
  demoCommand->callback([&] { code = demo(demoOptions); });

  AskOptions askOptions;
  auto* askCommand = program.add_subcommand("ask", "Ask a router over gRPC and print the answer as it comes");
  askCommand->add_option("text", askOptions.text, "The prompt")->required();
  askCommand->add_option("--to", askOptions.to, "Address of the router")->capture_default_str();
  askCommand->add_option("--class", askOptions.requestClass, "Request class");
  askCommand->add_option("--session", askOptions.session, "Key of the conversation");
  askCommand->add_option("--output", askOptions.output, "Ceiling of the answer, in tokens");
  askCommand->add_option("--timeout", askOptions.timeoutSeconds, "Deadline, in seconds")
      ->capture_default_str()
      ->check(CLI::Range(0.01, 86400.0));
  askCommand->callback([&] { code = ask(askOptions); });

  DrillOptions drillOptions;
  auto* drillCommand =
      program.add_subcommand("drill", "Play a scripted day with faults on loopback and audit the five rules");
  auto* script = drillCommand->add_option("script", drillOptions.script, "Script, JSON with comments");
  auto* day = drillCommand->add_option("--day", drillOptions.day, "A day of the bench in place of a script")
                  ->excludes(script);
  drillCommand->add_option("--write", drillOptions.writeTo, "With --day: write the script there and end")
      ->needs(day);
  drillCommand->add_option("--record", drillOptions.recording,
                           "Write what went over the sockets, as JSON lines");
  drillCommand->add_option("--log", drillOptions.logLevel, "Log level of the routers")->capture_default_str();
  drillCommand->add_flag("--guess", drillOptions.guess,
                         "Routers estimate tokens by characters, for comparison");
  drillCommand->callback([&] {
    if (drillOptions.script.empty() && drillOptions.day.empty()) throw CLI::RequiredError("script or --day");
    code = drill(drillOptions);
  });

  std::string recording;
  auto* auditCommand = program.add_subcommand("audit", "Check the five rules on a recording");
  auditCommand->add_option("recording", recording, "JSON lines, as drill --record writes them")->required();
  auditCommand->callback([&] { code = auditFile(recording); });

  TokensOptions tokensOptions;
  auto* tokensCommand = program.add_subcommand("tokens", "Count a text's tokens as an engine would");
  tokensCommand->add_option("file", tokensOptions.file, "The text; - for standard input")->required();
  tokensCommand
      ->add_option("--vocabulary", tokensOptions.vocabulary, "tokenizer.json, .tiktoken or .model file")
      ->required();
  tokensCommand
      ->add_option("--format", tokensOptions.format, "Of the vocabulary file; by its ending where not told")
      ->check(CLI::IsMember({"huggingface", "ranks", "sentencepiece"}));
  tokensCommand->add_option(
      "--pattern", tokensOptions.pattern,
      "Of a ranks file: cl100k_base, o200k_base, p50k_base, r50k_base or a pattern itself");
  tokensCommand->add_option("--special-token", tokensOptions.specialTokens, "Of a ranks file: TEXT=ID");
  tokensCommand->add_flag("--special", tokensOptions.special,
                          "Special tokens' text in the file is meant as such");
  tokensCommand->add_flag("!--no-frame", tokensOptions.frame,
                          "Leave out the tokens before and behind a text");
  tokensCommand->add_flag("--ids", tokensOptions.ids, "Print the ids, not their number");
  tokensCommand->add_flag("--lines", tokensOptions.lines, "Each line is a text of its own, a JSON string");
  tokensCommand->add_option("--repeat", tokensOptions.repeat, "Encode so many times, for timing")
      ->check(CLI::Range(1, 1'000'000));
  tokensCommand->callback([&] { code = tokens(tokensOptions); });

  CLI11_PARSE(program, argc, argv);
  return code;
}
