#ifndef FILBERTSPOKE_PROCESS_H
#define FILBERTSPOKE_PROCESS_H

#include <filbertspoke/Http>

#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace filbertspoke {

/** \brief A program that a test started; its end is the end of the program.
 *
 * A thread reads the program's standard output, so that the program never waits for the test.
 */
class Process {
public:
    /** \param program name of a program of the build
     * \throws std::runtime_error when it can't be started
     */
    Process(const std::string& program, const std::vector<std::string>& arguments);
    ~Process();
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;

    /** \brief Waits for the next line of the program's standard output.
     * \returns nothing at its end, or after a generous time limit against hanging
     */
    std::optional<std::string> readLine();

    /** \brief Sends a signal. */
    void signal(int number) const;

    /** \returns whether the program has changed what the signal does to it; also of one that has ended */
    bool handles(int signal) const;

    /** \brief Sends SIGKILL and waits for the end. */
    void kill();

    /** \brief Waits for the end.
     * \returns the exit code, or 128 and the signal's number
     */
    int wait();

    /** \returns whether the program has not ended yet */
    bool running();

    pid_t id() const { return this->pid; }

    /** \returns the most resident memory that the program has had, in kilobytes
     * \throws std::runtime_error when the system does not tell it, as of a program that has ended
     */
    long peakMemoryKb() const;

private:
    class Output;

    pid_t pid = -1;
    std::shared_ptr<Output> output;
    std::optional<int> status;
};

/** \brief A stand-in process that is ready. */
struct StandInProcess {
    Process process;
    HttpAddress address;
    HttpAddress control; ///< where a relay takes orders

    /** \brief Starts filbertspoke-standin with the arguments and waits until it listens. */
    static StandInProcess start(const std::vector<std::string>& arguments);
};

/** \brief Gives a test program loopback addresses that no other program of the same run binds or connects from.
 *
 * A program that is restarted gets its ports back only if nobody took them meanwhile, and connections without an
 * address of their own leave from 127.0.0.1 at any free port.
 * \param index up to 255, one for each program that the test starts
 */
std::string ownLoopbackAddress(std::uint32_t index);

/** \returns a port on the address that nothing listens on at present, and that this program was not given before */
std::uint16_t freePort(const std::string& address);

}

#endif
