# Installs libraries and packages below target/deps, with compiled byte code:
# a program that compiles itself at each start is ready later after each kill.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] \
    || [ deploy/requirements.txt -nt "$deps/.libraries" ]; then
    python3 -m pip install -q --disable-pip-version-check --upgrade \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
for source in packages/records/ibisring_records packages/web/ibisring_web \
    packages/policy/ibisring_policy packages/router/ibisring_router \
    packages/gateway/ibisring_gateway platform/ibisring_adapter; do
    name=$(basename "$source")
    rm -rf "$deps/$name"
    cp -r "$source" "$deps/$name"
    find "$deps/$name" -name tests -prune -exec rm -rf {} +
done
python3 -m compileall -q "$deps"
