#include "Whole/DeploymentFixture.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace Papaya {

namespace {

class Commands : public DeploymentFixture
{
protected:
    struct CommandResult {
        int exitCode = -1;
        std::string output;
    };

    Commands()
        : m_folder(std::filesystem::temp_directory_path() / ("papaya-commands-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~Commands() override { std::filesystem::remove_all(m_folder); }

    [[nodiscard]] std::string write(const std::string &name, const std::string &text) const
    {
        auto path = (m_folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    static CommandResult run(const std::string &command)
    {
        CommandResult result;
        FILE *pipe = ::popen((std::string(PAPAYA_PROGRAMS) + "/" + command + " 2>&1").c_str(), "r");
        std::array<char, 4096> buffer;
        while (const auto size = std::fread(buffer.data(), 1, buffer.size(), pipe))
            result.output.append(buffer.data(), size);
        const int status = ::pclose(pipe);
        result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return result;
    }

    std::filesystem::path m_folder;
};

const std::string ValidText = "[service ledger]\naddresses = 10.20.0.1:7000\nprotocol = tcp\ntarget_group = ledger\n";
const std::string ValidSettings =
    "[daemon]\nname = entry-1\nfailure_domain = patan\ndaemon = 127.0.0.1:19001\noperators = 127.0.0.1:19002\n"
    "platform = 127.0.0.1:19003\nfabric_listen = 127.0.0.1:19004\n";

} // namespace

TEST_F(Commands, HelpOfEveryDaemonListsItsSettingsFlags)
{
    for (const auto *program : {"papaya-entryd", "papaya-agentd", "papaya-relay-entryd", "papaya-relay-agentd"}) {
        const auto help = run(std::string(program) + " --help");
        EXPECT_NE(help.output.find("--settings"), std::string::npos) << program;
        EXPECT_NE(help.output.find("--check_settings"), std::string::npos) << program;
    }
}

TEST_F(Commands, CheckReportsEachErrorWithItsLine)
{
    EXPECT_EQ(run("papayactl check " + write("good.ini", ValidText)).exitCode, 0);
    const auto bad = run("papayactl check " + write("bad.ini", ValidText + "slotz = 3\nqueue_limit = -4\n"));
    EXPECT_EQ(bad.exitCode, 1);
    EXPECT_NE(bad.output.find("failure=unknown_key line=5 subject=slotz"), std::string::npos) << bad.output;
    EXPECT_NE(bad.output.find("failure=value_out_of_range line=6 subject=queue_limit"), std::string::npos) << bad.output;
    EXPECT_EQ(run("papayactl check " + (m_folder / "missing").string()).exitCode, 1);
    EXPECT_EQ(run("papayactl").exitCode, 2);
}

TEST_F(Commands, DaemonsExitWithCodeTwoOnInvalidSettings)
{
    const auto good = write("good.ini", ValidSettings);
    EXPECT_EQ(run("papaya-entryd --check_settings --settings=" + good).exitCode, 0);
    const auto unknown = run("papaya-entryd --settings=" + write("unknown.ini", ValidSettings + "colour = red\n"));
    EXPECT_EQ(unknown.exitCode, 2);
    EXPECT_NE(unknown.output.find("failure=unknown_key line=8 subject=colour"), std::string::npos) << unknown.output;
    EXPECT_EQ(run("papaya-entryd --settings=" + write("empty.ini", "")).exitCode, 2);
    EXPECT_EQ(run("papaya-agentd --settings=" + good).exitCode, 2);
    EXPECT_EQ(run("papaya-agentd --settings=" + (m_folder / "missing").string()).exitCode, 2);
    EXPECT_EQ(run("papaya-entryd --check_settings --daemon=nonsense --settings=" + good).exitCode, 2);
    EXPECT_EQ(run("papaya-entryd --version").exitCode, 0);
}

TEST_F(Commands, StatusAndExplainReportRevisionAndRanking)
{
    startDeployment(3, 1);
    const auto address = m_deployment->processes().at("entry-1").address;
    const auto status = run("papayactl status " + address);
    EXPECT_EQ(status.exitCode, 0);
    EXPECT_NE(status.output.find("revision=1\n"), std::string::npos) << status.output;
    const std::string flow = "10.99.0.1:4711-10.20.0.1:7000";
    const auto explained = run("papayactl explain --service=ledger --flow=" + flow + " --daemon=" + address);
    EXPECT_EQ(explained.exitCode, 0);
    EXPECT_NE(explained.output.find("reason=\"first_ranked\""), std::string::npos) << explained.output;
    EXPECT_EQ(run("papayactl explain --service=catalogue --flow=" + flow + " --daemon=" + address).exitCode, 1);

    const auto text = write("text.ini", m_deployment->configurationText());
    const auto vms = write(
        "vms.json",
        R"({"version":1,"vms":[{"name":"ledger-1","role":"target","state":"live","failure_domain":"patan","group":"ledger","daemon":"127.0.0.1:1"}]})");
    const auto byFiles = run("papayactl explain --flow=" + flow + " --configuration=" + text + " --vms=" + vms);
    EXPECT_EQ(byFiles.exitCode, 0);
    EXPECT_NE(byFiles.output.find("rank=1 target=ledger-1"), std::string::npos) << byFiles.output;
    EXPECT_EQ(run("papayactl status 127.0.0.1:1").exitCode, 1);
}

} // namespace Papaya
