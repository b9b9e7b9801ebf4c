/* The hollow fleet as a program of its own. */
#include "sim/scale_main.h"

int main(int argc, char **argv)
{
    return scale_main(argc, argv);
}
