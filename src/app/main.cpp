#include <CLI/CLI.hpp>

#include "app/commands.h"
#include "app/tokens_command.h"

int main(int argc, char** argv) {
  using namespace garnethook::app;
  CLI::App program{
      "garnethook: a router for language-model serving with prefill and decode on separate engines"};
  program.require_subcommand(1);
  int exitCode = 0;
  std::string config;

  auto* serveCommand = program.add_subcommand(
      "serve", "Run the router. SIGTERM shuts it down gracefully, SIGHUP reloads its settings");
  serveCommand->add_option("--config", config, "Settings file, JSON with comments")->required();
  serveCommand->callback([&] { exitCode = serve(config); });

  std::string runLevel = "info";
  auto* runCommand = program.add_subcommand(
      "run", "Run the router on the platform, configured by RELAY_CONFIG and the other RELAY_ variables");
  runCommand->add_option("--log", runLevel, "Log level")->envname("GARNETHOOK_LOG")->capture_default_str();
  runCommand->callback([&] { exitCode = run(runLevel); });

  auto* checkCommand = program.add_subcommand("check", "Validate the settings and the endpoint list");
  checkCommand->add_option("--config", config, "Settings file, JSON with comments")->required();
  checkCommand->callback([&] { exitCode = check(config); });

  auto* standinCommand = program.add_subcommand("standin", "Run fake engines on loopback");
  standinCommand->add_option("--config", config, "Fake engines file, JSON with comments")->required();
  standinCommand->callback([&] { exitCode = standIn(config); });

  DemoOptions demoOptions;
  auto* demoCommand = program.add_subcommand("demo", "Run a router with a few fake engines");
  demoCommand->add_option("--listen", demoOptions.listen, "Address of the router")->capture_default_str();
  demoCommand->add_option("--once", demoOptions.once,
                          "Send this prompt, print the streamed response and exit");
  demoCommand->callback([&] { exitCode = demo(demoOptions); });

  AskOptions askOptions;
  auto* askCommand = program.add_subcommand(
      "ask", "Send a prompt to a router over gRPC and print the response as it arrives");
  askCommand->add_option("text", askOptions.text, "The prompt")->required();
  askCommand->add_option("--to", askOptions.to, "Address of the router")->capture_default_str();
  askCommand->add_option("--class", askOptions.requestClass, "Request class");
  askCommand->add_option("--session", askOptions.session, "Session key");
  askCommand->add_option("--output", askOptions.output, "Maximum number of output tokens");
  askCommand->add_option("--timeout", askOptions.timeoutSeconds, "Deadline, in seconds")
      ->capture_default_str()
      ->check(CLI::Range(0.01, 86400.0));
  askCommand->callback([&] { exitCode = ask(askOptions); });

  DrillOptions drillOptions;
  auto* drillCommand = program.add_subcommand(
      "drill", "Run a fault scenario on loopback and audit the five correctness rules");
  auto* script =
      drillCommand->add_option("script", drillOptions.script, "Fault scenario, JSON with comments");
  auto* day = drillCommand->add_option("--day", drillOptions.day, "A day of the bench, instead of a script")
                  ->excludes(script);
  drillCommand
      ->add_option("--write", drillOptions.writeTo, "With --day: write the script to this file and exit")
      ->needs(day);
  drillCommand->add_option("--record", drillOptions.recording,
                           "Record the events on the sockets to this file, as JSON lines");
  drillCommand->add_option("--log", drillOptions.logLevel, "Log level of the routers")->capture_default_str();
  drillCommand->add_flag("--guess", drillOptions.estimateTokens,
                         "Routers estimate token counts from characters, for comparison");
  drillCommand->callback([&] {
    if (drillOptions.script.empty() && drillOptions.day.empty()) throw CLI::RequiredError("script or --day");
    exitCode = drill(drillOptions);
  });

  std::string recording;
  auto* auditCommand = program.add_subcommand("audit", "Audit the five correctness rules on a recording");
  auditCommand->add_option("recording", recording, "Recording of drill --record, JSON lines")->required();
  auditCommand->callback([&] { exitCode = auditFile(recording); });

  TokensOptions tokensOptions;
  auto* tokensCommand = program.add_subcommand("tokens", "Count the tokens of a text as an engine does");
  tokensCommand->add_option("file", tokensOptions.file, "File with the text; - for standard input")
      ->required();
  tokensCommand
      ->add_option("--vocabulary", tokensOptions.vocabulary,
                   "Tokeniser file: tokenizer.json, .tiktoken or .model")
      ->required();
  tokensCommand
      ->add_option("--format", tokensOptions.format,
                   "Format of the vocabulary file; default: by its extension")
      ->check(CLI::IsMember({"huggingface", "ranks", "sentencepiece"}));
  tokensCommand->add_option(
      "--pattern", tokensOptions.pattern,
      "For a ranks file: cl100k_base, o200k_base, p50k_base, r50k_base or a regular expression");
  tokensCommand->add_option("--special-token", tokensOptions.specialTokens, "For a ranks file: TEXT=ID");
  tokensCommand->add_flag("--special", tokensOptions.special,
                          "Encode the text of special tokens as special tokens");
  tokensCommand->add_flag("!--no-frame", tokensOptions.frame,
                          "Omit the tokens that are added before and after a text");
  tokensCommand->add_flag("--ids", tokensOptions.ids, "Print token ids instead of their number");
  tokensCommand->add_flag("--lines", tokensOptions.lines, "Each line is a separate text, as a JSON string");
  tokensCommand->add_option("--repeat", tokensOptions.repeat, "Number of times to encode, for timing")
      ->check(CLI::Range(1, 1'000'000));
  tokensCommand->callback([&] { exitCode = tokens(tokensOptions); });

  CLI11_PARSE(program, argc, argv);
  return exitCode;
}
